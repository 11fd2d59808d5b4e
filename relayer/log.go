package relayer

import (
	"context"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// peerLog returns a Log that forwards each call to a peer.
func peerLog(p Peer) provider.Log {
	return provider.Log{
		Append: func(ctx context.Context, stream string, records [][]byte) (provider.Offset, error) {
			a, err := callRelay(ctx, p, &schema.RelayRequest{Stream: stream, Records: records})
			return provider.Offset(a.GetFirstOffset()), err
		},
		Read: func(ctx context.Context, stream string, from provider.Offset, limit int) (provider.Page, error) {
			a, err := callRelay(ctx, p, &schema.RelayRequest{Stream: stream, From: int64(from), Limit: int32(limit)})
			if err != nil {
				return provider.Page{}, err
			}
			page := provider.Page{Oldest: provider.Offset(a.GetOldest()), Next: provider.Offset(a.GetNext())}
			for _, e := range a.GetEntries() {
				page.Entries = append(page.Entries, provider.Entry{Offset: provider.Offset(e.GetOffset()), Data: e.GetData()})
			}
			return page, nil
		},
	}
}

func callRelay(ctx context.Context, p Peer, q *schema.RelayRequest) (*schema.RelayResponse, error) {
	a, err := p.Relay(ctx, q)
	if err != nil {
		return nil, coder.New(coder.Internal, "relayer: peer %s: %v", p.Name, err)
	}
	if c := coder.Code(a.GetResultCode()); c != coder.OK {
		return nil, coder.New(c, "relayer: peer %s failed to reach the log", p.Name)
	}
	return a, nil
}
