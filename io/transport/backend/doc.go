// Package backend keeps one TCP connection open to each requested endpoint, and sends and receives frames over it.
//
// # Usage
//
//	t := backend.New(backend.Settings{}, clock, logger, handler)
//	t.Connect(endpoint, "reminders")
//	...
//	err := t.Send(endpoint, &packet.Backend{Kind: packet.BackendRun, ...})
//	...
//	t.Disconnect(endpoint)
//	t.Close()
//
// Connect requests a connection: the endpoint is dialled at once, and again with jittered backoff whenever its
// connection ends, until Disconnect. The first frames are Hello from the balancer and Identity from the backend server.
// BackendUp is called only if the Identity names the service given to Connect; until then, and after the connection
// ended, Send fails.
//
// # Delivery guarantees
//
// A request that is not idempotent may be sent again only if it is certain that its first attempt did not start. The
// package therefore reports for each frame whether the backend server can have received it:
//
//   - Send returned an error: nothing of the frame was written and nothing will be.
//   - Send returned nil, and BackendDown lists the frame in unsent: no byte of it was passed to the kernel.
//   - Send returned nil, and BackendDown does not list it: the backend server may have received it.
//
// A frame is never carried over to the next connection. Attempt and stream numbers should not be reused for the same
// endpoint: Send may accept a frame that was meant for the previous connection (such as a Cancel) for the new one, when
// the handler has not yet processed BackendDown and BackendUp.
//
// # Order of calls
//
// For each endpoint, the handler is called by one goroutine at a time: BackendUp, any number of HandleBackend,
// BackendDown. A failed attempt to connect is reported by BackendDown without BackendUp. Handlers may call Send,
// Connect and Disconnect, but not Close.
//
// # Errors
//
// Send returns *NotConnectedError, *WrongServiceError, *QueueFullError, or the encoder's error such as
// *wire.TooLargeError. BackendDown gets *DialError, *ConnectionError, *SilenceError, *WrongServiceError, *FrameError or
// *DisconnectedError.
package backend
