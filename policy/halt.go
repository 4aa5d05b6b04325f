package policy

// SetHalted stops all new attempts, or allows them again, from the next Step on. A halted Sender still gives refusals
// and final answers, since deadlines keep passing.
func (s *Sender) SetHalted(on bool) { s.halted = on }
