package apportioner

import (
	"cmp"
	"slices"
)

type (
	// Pool is what all executors have of something, by data centre.
	Pool map[string]int

	// Table holds the weight of each entry host in each data centre. It never
	// changes.
	Table struct {
		entries     []Entry
		dataCentres []string
		weights     [][]float64
		sums        [][]float64
	}
)

const (
	// localWeight is the weight of an entry host in the executor's own data
	// centre before the totals are balanced; that of any other is remoteWeight.
	localWeight  = 4.0
	remoteWeight = 1.0
	// balanceSteps is how often totals are balanced by rows and columns.
	balanceSteps = 20
)

// NewTable gives weights by which each entry host gets as much in total as any
// other, and more in its own data centre than elsewhere. The weights that
// prefer the own data centre are scaled by rows and columns in turn (iterative
// proportional fitting).
func NewTable(entries []Entry, pool Pool) *Table {
	t := &Table{entries: slices.Clone(entries)}
	slices.SortFunc(t.entries, func(a, b Entry) int { return cmp.Compare(a.name, b.name) })
	for d, units := range pool {
		if units > 0 {
			t.dataCentres = append(t.dataCentres, d)
		}
	}
	slices.Sort(t.dataCentres)
	total := 0
	for _, d := range t.dataCentres {
		total += pool[d]
	}
	t.start()
	for range balanceSteps {
		t.balanceEntries(float64(total) / float64(len(t.entries)))
		t.balanceDataCentres(pool)
	}
	for k := range t.dataCentres {
		t.sums = append(t.sums, runningSums(len(t.entries), func(i int) float64 { return t.weights[i][k] }))
	}
	return t
}

func (t *Table) start() {
	t.weights = make([][]float64, len(t.entries))
	for i, e := range t.entries {
		for _, d := range t.dataCentres {
			t.weights[i] = append(t.weights[i], startWeight(e, d))
		}
	}
}

func startWeight(e Entry, dataCentre string) float64 {
	if e.dataCentre == dataCentre {
		return localWeight
	}
	return remoteWeight
}

func (t *Table) balanceEntries(each float64) {
	for _, w := range t.weights {
		sum := 0.0
		for _, x := range w {
			sum += x
		}
		for k := range w {
			w[k] *= each / sum
		}
	}
}

func (t *Table) balanceDataCentres(pool Pool) {
	for k, d := range t.dataCentres {
		sum := 0.0
		for _, w := range t.weights {
			sum += w[k]
		}
		for _, w := range t.weights {
			w[k] *= float64(pool[d]) / sum
		}
	}
}

// sumsOf gives the running sums of the weights, by name of the entry host, in a
// data centre.
func (t *Table) sumsOf(dataCentre string) []float64 {
	k, known := slices.BinarySearch(t.dataCentres, dataCentre)
	if known {
		return t.sums[k]
	}
	return runningSums(len(t.entries), func(i int) float64 { return startWeight(t.entries[i], dataCentre) })
}

func runningSums(n int, weight func(i int) float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range n {
		sum += weight(i)
		sums[i] = sum
	}
	return sums
}
