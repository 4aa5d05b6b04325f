package model

import "flag"

// setFlag sets a flag of the test binary as if given on its command line.
func setFlag(name, value string) error { return flag.Set(name, value) }
