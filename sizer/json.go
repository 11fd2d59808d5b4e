package sizer

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"galenawharf.example/galenawharf/coder"
)

type (
	// Processors is an amount of CPU in millicores. In JSON it is a number of cores, such
	// as 2.5.
	Processors int64

	// Memory is an amount of memory in bytes. In JSON it is a string with a unit, such as
	// "512MiB" or "4GiB".
	Memory int64

	// Document is the JSON form of a Size.
	Document struct {
		Processors   Processors `json:"processors,omitempty"`
		Memory       Memory     `json:"memory,omitempty"`
		Accelerators int64      `json:"accelerators,omitempty"`
	}
)

const (
	// KiB is 1024 bytes.
	KiB int64 = 1 << 10
	// MiB is 1024 KiB in bytes.
	MiB int64 = 1 << 20
	// GiB is 1024 MiB in bytes.
	GiB int64 = 1 << 30
	// TiB is 1024 GiB in bytes.
	TiB int64 = 1 << 40

	maxCores = 1_000_000_000
)

var (
	memoryUnits = []struct {
		name  string
		bytes int64
	}{{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}
)

// MarshalJSON encodes the size as a Document.
func (s Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(DocumentOf(s))
}

// Size converts the document to a Size.
func (d Document) Size() Size {
	return Size{millicores: int64(d.Processors), memory: int64(d.Memory), accelerators: d.Accelerators}
}

// DocumentOf converts s to its JSON form.
func DocumentOf(s Size) Document {
	return Document{Processors(s.millicores), Memory(s.memory), s.accelerators}
}

// MarshalJSON encodes p as a number of cores.
func (p Processors) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(p)/1000, 'f', -1, 64), nil
}

// UnmarshalJSON decodes a number of cores. It returns an error of code BadFormat if data is
// not a number, and OutOfRange if it is negative, too large or has more than three
// decimals.
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

// MarshalJSON encodes m as a whole number of the largest unit that divides it.
func (m Memory) MarshalJSON() ([]byte, error) {
	for _, u := range memoryUnits {
		if m != 0 && int64(m)%u.bytes == 0 {
			return json.Marshal(strconv.FormatInt(int64(m)/u.bytes, 10) + u.name)
		}
	}
	return []byte(`"0B"`), nil
}

// UnmarshalJSON decodes a whole number with a unit. It returns an error of code BadFormat if
// data is anything else, and OutOfRange if the number is negative or too large.
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
