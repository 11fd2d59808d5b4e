package packer

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

func cores(n int64) sizer.Size { return sizer.New(n, 0, 0) }

func anyRoom(int) bool { return true }

// TestReserve guards against a room that is kept for a need which would fit elsewhere sooner, and
// against needs that pass others out of order.
func TestReserve(t *testing.T) {
	room := func(free int64, runs ...Run) Room { return Room{Total: cores(64), Free: cores(free), Runs: runs} }
	tests := map[string]struct {
		needs []Need
		rooms []Room
		limit int
		want  []Reservation
	}{
		"first room with space": {
			needs: []Need{{Size: cores(10), Suits: anyRoom}}, limit: 1,
			rooms: []Room{room(5, Run{cores(5), 900}), room(5, Run{cores(1), 200}, Run{cores(4), 800})},
			want:  []Reservation{{Room: 1, At: 800}},
		},
		"least space left over": {
			needs: []Need{{Size: cores(10), Suits: anyRoom}}, limit: 1,
			rooms: []Room{room(8, Run{cores(5), 500}), room(8, Run{cores(2), 500})},
			want:  []Reservation{{Room: 1, At: 500}},
		},
		"never fits":         {needs: []Need{{Size: cores(20), Suits: anyRoom}}, limit: 1, rooms: []Room{room(5, Run{cores(5), 900})}},
		"overdrawn room":     {needs: []Need{{Size: cores(4), Suits: anyRoom}}, limit: 1, rooms: []Room{room(-5, Run{cores(8), 900})}},
		"unsuitable":         {needs: []Need{{Size: cores(2), Suits: func(int) bool { return false }}}, limit: 1, rooms: []Room{room(5)}},
		"past forecast":      {needs: []Need{{Size: cores(8), Suits: anyRoom}}, limit: 1, rooms: []Room{room(5, Run{cores(5), 50})}, want: []Reservation{{At: 100}}},
		"one need to a room": {needs: []Need{{Size: cores(2), Suits: anyRoom}, {Size: cores(2), Suits: anyRoom}}, limit: 2, rooms: []Room{room(5)}, want: []Reservation{{At: 100}}},
		"in order, limited": {
			needs: []Need{
				{Size: cores(2), Suits: anyRoom, Order: Order{Priority: 1}},
				{Size: cores(2), Suits: anyRoom, Order: Order{Late: true, Since: 1}},
				{Size: cores(2), Suits: anyRoom, Order: Order{Since: 9}},
				{Size: cores(2), Suits: anyRoom, Order: Order{Since: 3}},
			},
			rooms: []Room{room(5), room(5), room(5), room(5)}, limit: 3,
			want: []Reservation{{Need: 3, Room: 0, At: 100}, {Need: 2, Room: 1, At: 100}, {Need: 1, Room: 2, At: 100}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { must.Eq(t, tt.want, Reserve(100, tt.needs, tt.rooms, tt.limit)) })
	}
}

// TestFitScore guards against small needs that take the space of larger ones.
func TestFitScore(t *testing.T) {
	tight := Room{Total: cores(64), Free: cores(5), Runs: []Run{{Size: cores(9)}}}
	loose := Room{Total: cores(64), Free: cores(9)}
	tests := map[string]struct {
		waiting       []sizer.Size
		better, worse Room
	}{
		"least left over":          {waiting: []sizer.Size{cores(20)}, better: tight, worse: loose},
		"larger ones fit later":    {waiting: []sizer.Size{cores(12)}, better: loose, worse: tight},
		"the smallest one decides": {waiting: []sizer.Size{cores(60), cores(12)}, better: loose, worse: tight},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			must.Greater(t, FitScore(cores(4), tt.worse, tt.waiting), FitScore(cores(4), tt.better, tt.waiting))
		})
	}
}

// TestReserveProperties guards against reservations of rooms that are too small at their time, that are
// later than need be, or that are reserved twice.
func TestReserveProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Custom(func(t *rapid.T) sizer.Size {
			return sizer.New(rapid.Int64Range(0, 20).Draw(t, "cpu"), rapid.Int64Range(0, 20).Draw(t, "memory"), rapid.Int64Range(0, 2).Draw(t, "gpu"))
		})
		run := rapid.Custom(func(t *rapid.T) Run {
			return Run{Size: size.Draw(t, "size"), End: clock.Millis(rapid.Int64Range(0, 2000).Draw(t, "end"))}
		})
		rooms := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Room {
			return Room{Total: sizer.New(64, 64, 4), Free: size.Draw(t, "free"), Runs: rapid.SliceOfN(run, 0, 5).Draw(t, "runs")}
		}), 0, 6).Draw(t, "rooms")
		needs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Need {
			return Need{Size: size.Draw(t, "need"), Suits: anyRoom, Order: Order{Since: clock.Millis(rapid.Int64Range(0, 9).Draw(t, "since"))}}
		}), 0, 6).Draw(t, "needs")
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		const now = 1000
		rs := Reserve(now, needs, rooms, limit)
		must.LessEq(t, limit, len(rs))
		freeAt := func(r Room, at clock.Millis) sizer.Size {
			free := r.Free
			for _, run := range r.Runs {
				if run.End <= at {
					free = free.Add(run.Size)
				}
			}
			return free
		}
		taken := map[int]bool{}
		for _, r := range rs {
			must.False(t, taken[r.Room])
			must.True(t, needs[r.Need].Size.Fits(freeAt(rooms[r.Room], r.At)))
			for i := range rooms {
				if !taken[i] && r.At > now {
					must.False(t, needs[r.Need].Size.Fits(freeAt(rooms[i], r.At-1)) && needs[r.Need].Size.Fits(freeAt(rooms[i], now)))
				}
			}
			taken[r.Room] = true
		}
	})
}
