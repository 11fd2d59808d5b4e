package packer_test

import (
	"fmt"

	"galenawharf.example/galenawharf/packer"
	"galenawharf.example/galenawharf/sizer"
)

// A need for 10 processors waits for the first of two hosts whose runs leave as much.
func ExampleReserve() {
	cores := func(n int64) sizer.Size { return sizer.New(n*1000, 0, 0) }
	rooms := []packer.Room{
		{Total: cores(64), Free: cores(4), Runs: []packer.Run{{Size: cores(4), End: 900}, {Size: cores(4), End: 300}}},
		{Total: cores(64), Free: cores(8), Runs: []packer.Run{{Size: cores(4), End: 500}}},
	}
	needs := []packer.Need{{Size: cores(10), Suits: func(int) bool { return true }}}
	for _, r := range packer.Reserve(100, needs, rooms, 1) {
		fmt.Println("room", r.Room, "for need", r.Need, "in ms", int64(r.At)-100)
	}
	// Output: room 1 for need 0 in ms 400
}
