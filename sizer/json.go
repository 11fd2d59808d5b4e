package sizer

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"galenawharf.example/galenawharf/coder"
)

type (
	// Processors is an amount of processors in thousandths of a core. In JSON
	// it is a number of cores, such as 2.5.
	Processors int64

	// Memory is an amount of memory in bytes. In JSON it is a text with its
	// unit, such as "512MiB" or "4GiB".
	Memory int64

	// Document is a size as it stands in JSON.
	Document struct {
		Processors   Processors `json:"processors,omitempty"`
		Memory       Memory     `json:"memory,omitempty"`
		Accelerators int64      `json:"accelerators,omitempty"`
	}
)

const (
	// KiB is a unit of memory in bytes.
	KiB int64 = 1 << 10
	// MiB is a unit of memory in bytes.
	MiB int64 = 1 << 20
	// GiB is a unit of memory in bytes.
	GiB int64 = 1 << 30
	// TiB is a unit of memory in bytes.
	TiB int64 = 1 << 40

	maxCores = 1_000_000_000
)

var (
	memoryUnits = []struct {
		name  string
		bytes int64
	}{{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}
)

// MarshalJSON gives the size as an object of processors, memory and
// accelerators.
func (s Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(DocumentOf(s))
}

// Size gives the size that the document stands for.
func (d Document) Size() Size {
	return Size{millicores: int64(d.Processors), memory: int64(d.Memory), accelerators: d.Accelerators}
}

// DocumentOf gives the document that stands for s.
func DocumentOf(s Size) Document {
	return Document{Processors(s.millicores), Memory(s.memory), s.accelerators}
}

// MarshalJSON gives the processors as a number of cores.
func (p Processors) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(p)/1000, 'f', -1, 64), nil
}

// UnmarshalJSON reads a number of cores with at most three decimals.
func (p *Processors) UnmarshalJSON(data []byte) error {
	var cores float64
	if err := json.Unmarshal(data, &cores); err != nil {
		return coder.New(coder.BadFormat, "%s is not a number of cores, such as 2.5", data)
	}
	m := math.Round(cores * 1000)
	if cores < 0 || cores > maxCores || math.Abs(m-cores*1000) > 1e-6*math.Max(1, cores) {
		return coder.New(coder.OutOfRange, "%s is not a number of cores of at least 0 with at most three decimals", data)
	}
	*p = Processors(m)
	return nil
}

// MarshalJSON gives the memory with the largest unit that divides it.
func (m Memory) MarshalJSON() ([]byte, error) {
	for _, u := range memoryUnits {
		if m != 0 && int64(m)%u.bytes == 0 {
			return json.Marshal(strconv.FormatInt(int64(m)/u.bytes, 10) + u.name)
		}
	}
	return []byte(`"0B"`), nil
}

// UnmarshalJSON reads a whole number with its unit.
func (m *Memory) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return coder.New(coder.BadFormat, "%s is not an amount of memory with its unit, such as \"4GiB\"", data)
	}
	for _, u := range memoryUnits {
		number, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			break
		}
		if n < 0 || n > math.MaxInt64/u.bytes {
			return coder.New(coder.OutOfRange, "%q is outside the range of memory", text)
		}
		*m = Memory(n * u.bytes)
		return nil
	}
	return coder.New(coder.BadFormat, "%q is not an amount of memory with its unit, such as \"4GiB\"", text)
}
