package main

func newRestore() *command {
	return newDrainCommand("restore", "brings a data centre or host back into service",
		"galenawharf restore data-centre port-of-spain-1", true)
}
