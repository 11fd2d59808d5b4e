package provider

type (
	// AppendCall is an append on its way to the log.
	AppendCall struct {
		Stream  string   `json:"stream"`
		Records [][]byte `json:"records"`
	}

	// AppendResult is the answer to an append.
	AppendResult struct {
		Offset Offset `json:"offset"`
	}

	// ReadCall is a read on its way to the log.
	ReadCall struct {
		Stream string `json:"stream"`
		From   Offset `json:"from"`
		Limit  int    `json:"limit"`
	}

	// ListCall asks for the list of hosts.
	ListCall struct{}

	// ListResult is the list of hosts.
	ListResult struct {
		Hosts []Host `json:"hosts"`
	}

	// UsageCall asks a worker for usage.
	UsageCall struct {
		Shard string `json:"shard"`
		Since int64  `json:"since"`
	}

	// CancelCall calls a request off.
	CancelCall struct {
		ID string `json:"id"`
	}

	// CancelResult says what had become of a request that is called off.
	CancelResult struct {
		State CancelState `json:"state"`
	}

	// Refusal is an answer that says why a call was not carried out.
	Refusal struct {
		Code int    `json:"code"`
		Text string `json:"text"`
	}
)
