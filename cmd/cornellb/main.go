// Command cornellb is a layer-4 load balancer and the tool that operators use to edit and watch its tables.
package main

import (
	"os"

	"cornellb/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
