package command

import (
	"bytes"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/cobra"
)

// describedFlag matches the usage line of a flag that has a description.
var describedFlag = regexp.MustCompile(`^ +(-[a-z], )?--[a-z-]+( [a-z]+)? {2,}\S`)

// TestHelp guards against subcommands and flags without a description, and against subcommands that "cornellb help"
// does not find.
func TestHelp(t *testing.T) {
	for name, build := range subcommands {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := build()
			is.Equal(c.Name(), name)
			is.True(c.Short != "" && c.Args != nil)
			var help bytes.Buffer
			is.Equal(Execute([]string{"help", name}, &help, &help), exitSuccess)
			for line := range strings.Lines(c.Flags().FlagUsages()) {
				is.True(describedFlag.MatchString(line))            // the flag has a description
				is.True(bytes.Contains(help.Bytes(), []byte(line))) // the help output lists the flag
			}
		})
	}
}

// TestCompletion guards against completion scripts that a shell cannot read.
func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		t.Run(shell, func(t *testing.T) {
			is := is.New(t)
			var script, faults bytes.Buffer
			is.Equal(Execute([]string{"completion", shell}, &script, &faults), exitSuccess)
			is.Equal(faults.String(), "")
			is.True(bytes.Contains(script.Bytes(), []byte(cobra.ShellCompRequestCmd)))
			if shell == "bash" { // the shell that the scripts of this project use
				c := exec.Command("bash", "-n")
				c.Stdin = &script
				out, err := c.CombinedOutput()
				is.NoErr(err)
				is.Equal(string(out), "")
			}
		})
	}
}
