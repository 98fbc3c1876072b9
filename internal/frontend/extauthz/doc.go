// Package extauthz is the frontend for HTTP external authorization: a web proxy asks by a check whether a request may
// pass before it forwards it to a customer's own service. Each check becomes an admission-only request of a pool's
// proxy, so quotas, ceilings and limits on requests in flight are those of the other frontends. The design is described
// in docs/design/forward-auth.md.
//
// Handlers run on goroutines of net/http: they read and verify a check and write its answer. Cached decisions and
// admitted requests in flight belong to the event loop of the check's pool, which handlers reach by posting tasks.
//
// # Status of an answer
//
//	200  admitted; or not decided, on a route with Route.AllowUndecided      responder.allow, responder.undecided
//	204  the end call of an admitted request                                 exchange.answerEnd
//	400  malformed target, credential header, units or request id            exchange.badRequest
//	400  the body can't be read                                              exchange.discardBody
//	401  no credential, or one that no account has                           responder.unauthenticated
//	403  the proxy is not trusted (problem "untrusted")                      Front.ServeHTTP
//	403  no pool serves the request ("no-route")                             exchange.acquirePool
//	403  the account has no plan in the pool, or no right to the class       exchange.readRequest
//	     ("not-entitled")
//	404  no check at this path, or no admitted request of this id            exchange.serve, exchange.answerEnd
//	405  an end call that is no POST                                         exchange.answerEnd
//	408  the body did not arrive in time                                     exchange.discardBody
//	413  the body is too long                                                exchange.discardBody
//	429  rejected by the pool's proxy, whatever the reason, or repeated      responder.reject, check.joinKnown
//	     too often
//	431  too many header fields                                              exchange.acceptHeader
//	503  not decided: see undecidedReason and HeaderUndecided                responder.undecided
//
// A route of nginx's dialect sends 403 in place of every status but 2xx and 401, since nginx understands no other; the
// true status is in HeaderStatus and in the body (responder.dialectStatus).
package extauthz
