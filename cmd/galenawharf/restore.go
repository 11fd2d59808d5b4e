package main

func newRestore() *command {
	return drainCommand("restore", "brings a data centre or host back into service",
		"galenawharf restore data-centre port-of-spain-1", true)
}
