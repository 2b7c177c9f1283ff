package steering

// Expected returns the number of requests that wait to be judged.
func (f *Forwarder) Expected() int { return f.waiting }
