// Package backend keeps one TCP connection to each wanted backend server and moves frames over it.
//
// # Usage
//
//	t := backend.New(backend.Settings{}, clock, logger, handler)
//	t.Want(endpoint, "reminders")
//	...
//	err := t.Send(endpoint, &packet.Backend{Kind: packet.BackendRun, ...})
//	...
//	t.Forget(endpoint)
//	t.Close()
//
// A wanted endpoint is dialled at once and again, with jittered backoff, whenever its connection ends. The first frames
// are Hello and Identity. BackendUp is called only if the backend server has the wanted service; until then, and after
// the connection ended, Send fails.
//
// # Certainty about what was sent
//
// A request that is not idempotent may be sent again only if its first attempt certainly did not start. The package
// therefore tells exactly what it knows of each frame:
//
//   - Send returned an error: nothing of the frame was written and nothing will be.
//   - Send returned nil, and BackendDown lists the frame in unsent: no byte of it was passed to the kernel.
//   - Send returned nil, and BackendDown does not list it: the backend server may have received it.
//
// A frame is never carried over to the next connection. Attempt and stream numbers should not be used again for the
// same endpoint, since a frame that was meant for the previous connection (such as a Cancel) may be accepted by Send
// before the core has handled BackendDown and BackendUp.
//
// # Order of calls
//
// For each endpoint, the handler is called by one goroutine at a time: BackendUp, any number of HandleBackend,
// BackendDown. A failed attempt to connect is reported by BackendDown without BackendUp. Handlers may call Send, Want
// and Forget, but not Close.
//
// # Errors
//
// Send returns *NotConnectedError, *WrongServiceError, *QueueFullError, or the encoder's error such as
// *wire.TooLargeError. BackendDown gets *DialError, *ConnectionError, *SilenceError, *WrongServiceError, *FrameError or
// *ForgottenError.
package backend
