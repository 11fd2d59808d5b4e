package apportioner

type (
	// weights are the parts of entry hosts in each data centre.
	weights struct {
		entries     []Entry
		dataCentres []string
		rows        [][]float64
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

// newWeights gives weights by which each entry host gets as much in total as
// any other, and more in its own data centre than elsewhere. The weights that
// prefer the own data centre are scaled by rows and columns in turn (iterative
// proportional fitting). entries and dataCentres are sorted; pool is what each
// data centre has.
func newWeights(entries []Entry, dataCentres []string, pool map[string]int) *weights {
	t := &weights{entries: entries, dataCentres: dataCentres}
	total := 0
	for _, d := range dataCentres {
		total += pool[d]
	}
	t.start()
	for range balanceSteps {
		t.balanceEntries(float64(total) / float64(len(entries)))
		t.balanceDataCentres(pool)
	}
	return t
}

func (t *weights) start() {
	t.rows = make([][]float64, len(t.entries))
	for i, e := range t.entries {
		for _, d := range t.dataCentres {
			t.rows[i] = append(t.rows[i], startWeight(e, d))
		}
	}
}

func startWeight(e Entry, dataCentre string) float64 {
	if e.dataCentre == dataCentre {
		return localWeight
	}
	return remoteWeight
}

func (t *weights) balanceEntries(each float64) {
	for _, w := range t.rows {
		sum := 0.0
		for _, x := range w {
			sum += x
		}
		for k := range w {
			w[k] *= each / sum
		}
	}
}

func (t *weights) balanceDataCentres(pool map[string]int) {
	for k, d := range t.dataCentres {
		sum := 0.0
		for _, w := range t.rows {
			sum += w[k]
		}
		for _, w := range t.rows {
			w[k] *= float64(pool[d]) / sum
		}
	}
}

// exact gives the part of units that each entry host has in the k-th data
// centre, before rounding.
func (t *weights) exact(k, units int, parts []float64) {
	sum := 0.0
	for _, w := range t.rows {
		sum += w[k]
	}
	for i, w := range t.rows {
		parts[i] = w[k] / sum * float64(units)
	}
}
