//go:build race

package caller

const raceEnabled = true
