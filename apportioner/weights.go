package apportioner

type (
	// weights are the relative shares of the entry hosts in each data centre.
	weights struct {
		entries     []Entry
		dataCentres []string
		// rows has a row for each entry host and a column for each data centre.
		rows [][]float64
	}
)

const (
	// localWeight and remoteWeight are the initial weights of an entry host in its own and
	// in another data centre, before balancing.
	localWeight  = 4.0
	remoteWeight = 1.0
	// balanceIterations is the number of iterations of balancing rows and columns.
	balanceIterations = 20
)

// newWeights returns weights that give each entry host the same total, with a preference
// for its own data centre. The initial weights have that preference; they are scaled by
// rows and columns in turn (iterative proportional fitting). entries and dataCentres are
// sorted; pool is the number of units in each data centre.
func newWeights(entries []Entry, dataCentres []string, pool map[string]int) *weights {
	t := &weights{entries: entries, dataCentres: dataCentres}
	total := 0
	for _, d := range dataCentres {
		total += pool[d]
	}
	t.init()
	for range balanceIterations {
		t.balanceEntries(float64(total) / float64(len(entries)))
		t.balanceDataCentres(pool)
	}
	return t
}

func (t *weights) init() {
	t.rows = make([][]float64, len(t.entries))
	for i, e := range t.entries {
		for _, d := range t.dataCentres {
			t.rows[i] = append(t.rows[i], initialWeight(e, d))
		}
	}
}

func initialWeight(e Entry, dataCentre string) float64 {
	if e.dataCentre == dataCentre {
		return localWeight
	}
	return remoteWeight
}

// balanceEntries scales the row of each entry host to the sum target.
func (t *weights) balanceEntries(target float64) {
	for _, w := range t.rows {
		sum := 0.0
		for _, x := range w {
			sum += x
		}
		for k := range w {
			w[k] *= target / sum
		}
	}
}

// balanceDataCentres scales the column of each data centre to the sum of its units.
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

// exact computes how many of the units of an executor in the k-th data centre each entry
// host gets, before rounding, and writes the results to parts.
func (t *weights) exact(k, units int, parts []float64) {
	sum := 0.0
	for _, w := range t.rows {
		sum += w[k]
	}
	for i, w := range t.rows {
		parts[i] = w[k] / sum * float64(units)
	}
}
