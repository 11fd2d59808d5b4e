package provider

type (
	// AppendCall is the body of a request that appends records to a stream of the log.
	AppendCall struct {
		Stream  string   `json:"stream"`
		Records [][]byte `json:"records"`
	}

	// AppendResult is the response to an AppendCall. Offset is that of the first record.
	AppendResult struct {
		Offset Offset `json:"offset"`
	}

	// ReadCall is the body of a request for at most Limit entries of a stream, beginning
	// at offset From.
	ReadCall struct {
		Stream string `json:"stream"`
		From   Offset `json:"from"`
		Limit  int    `json:"limit"`
	}

	// ListCall is the empty body of a request for the list of hosts.
	ListCall struct{}

	// ListResult is the response to a ListCall.
	ListResult struct {
		Hosts []Host `json:"hosts"`
	}

	// UsageCall is the body of a request for the usage samples of a shard's tasks. Since
	// is a reading of the worker's clock in milliseconds.
	UsageCall struct {
		Shard string `json:"shard"`
		Since int64  `json:"since"`
	}

	// CancelCall is the body of a request to an executor to cancel a check.
	CancelCall struct {
		ID string `json:"id"`
	}

	// CancelResult is the response to a CancelCall.
	CancelResult struct {
		State CancelState `json:"state"`
	}

	// ErrorBody is the body of an error response: a code of package coder and a message.
	ErrorBody struct {
		Code int    `json:"code"`
		Text string `json:"text"`
	}
)
