package extauthz

import "net/http"

// exchange is an HTTP request of a web proxy with its answer. It belongs to one handler goroutine.
type exchange struct {
	front   *Frontend
	conn    *conn
	request *http.Request
	// route is nil if the request's path takes no checks.
	route *Route
	// uri is the client's URI if the route has Envoy's dialect.
	uri      string
	memory   memoryReservation
	response responder
}

// ServeHTTP implements [http.Handler].
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		http.Error(w, "no connection", http.StatusInternalServerError)
		return
	}
	received := c.beginRequest(r.ProtoMajor > 1)
	defer c.endRequest()
	if c.closeAfterAnswer.Load() {
		w.Header().Set("Connection", "close")
	}
	route, uri := f.config.findRoute(r)
	e := exchange{
		front:    f,
		conn:     c,
		request:  r,
		route:    route,
		uri:      uri,
		response: responder{w: w, shared: f.shared, route: route},
	}
	if !c.trusted && !f.config.hasTrustedCertificate(r.TLS) {
		f.shared.Stats.Untrusted.Add(1)
		e.response.problem(http.StatusForbidden, problemUntrusted, "This address is not one that may ask.")
		return
	}
	if !e.acceptHeader(received) {
		return
	}
	defer e.memory.release()
	e.serve()
}

// acceptHeader checks the number of the request's header fields and reserves memory for the request. received is the
// number of bytes that were read for it. acceptHeader returns false if it has answered the request.
func (e *exchange) acceptHeader(received int64) bool {
	stats := &e.front.shared.Stats
	maxFields := e.front.config.MaxHeaders
	size := 2 * received
	fields := len(e.request.Header)
	// Header fields must be counted exactly if the header was compressed, or if repeated fields may exceed the limit.
	if e.request.ProtoMajor > 1 || fields > maxFields/2 {
		size, fields = headerSize(e.request.Header)
	}
	if fields > maxFields {
		stats.TooLarge.Add(1)
		e.response.problem(http.StatusRequestHeaderFieldsTooLarge, problemHeaders,
			"There are more header fields than are read here.")
		return false
	}
	memory, ok := reserveMemory(e.front.env.Memory, exchangeBytes+size)
	if !ok {
		stats.NoCapacity.Add(1)
		e.response.undecided(undecidedMemory)
		return false
	}
	e.memory = memory
	return true
}

// serve reads the request's body and answers the request.
func (e *exchange) serve() {
	if err := e.discardBody(); err != nil {
		e.front.shared.Stats.TooLarge.Add(1)
		e.response.w.Header().Set("Connection", "close")
		e.response.problem(err.status, problemBody, err.detail)
		return
	}
	endPath := e.front.config.EndPath
	switch {
	case endPath != "" && e.request.URL.Path == endPath:
		e.answerEnd()
	case e.route == nil:
		e.front.shared.Stats.Bad.Add(1)
		e.response.problem(http.StatusNotFound, problemPath, "No check is asked at this path.")
	default:
		e.answerCheck()
	}
}

// answerEnd answers an end call, by which a proxy reports that an admitted request has ended.
func (e *exchange) answerEnd() {
	if e.request.Method != http.MethodPost {
		e.response.w.Header().Set("Allow", http.MethodPost)
		e.response.problem(http.StatusMethodNotAllowed, problemMethod, "An end is told with POST.")
		return
	}
	id, ok := e.front.shared.parseRequestID(e.request.URL.Query().Get("id"))
	if !ok || !e.front.finishAdmitted(id) {
		e.response.problem(http.StatusNotFound, problemID, "No grant of that id is held.")
		return
	}
	e.response.w.WriteHeader(http.StatusNoContent)
}
