package policy

// Halt stops all new attempts, or lets them begin again from the next Step on. A halted Sender goes on with refusals and
// final answers: deadlines pass all the same.
func (s *Sender) SetHalted(on bool) { s.halted = on }
