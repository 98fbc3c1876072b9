// Package extauthz is the frontend for HTTP external authorization: before a web proxy forwards a client's request to a
// customer's own service, it sends a check, whose answer says whether the request may pass. Each check becomes an
// admission-only request of a pool's proxy, so that the same quotas, ceilings and limits on requests in flight apply as
// in the other frontends. The design is described in docs/design/forward-auth.md.
//
// Handlers run on goroutines of net/http. They read and validate a check and write its answer. Cached decisions and
// admitted requests in flight belong to the event loop of the check's pool; handlers access them by posting tasks.
//
// # Status of an answer
//
//	200  admitted; or not decided, on a route with Route.AllowUndecided      responder.allow, responder.undecided
//	204  the end call of an admitted request                                 exchange.answerEnd
//	400  malformed target, credential header, units or request id            exchange.badRequest
//	400  reading the body failed                                             exchange.discardBody
//	401  no credential, or one of no account                                 responder.unauthenticated
//	403  the proxy is not trusted (problem "untrusted")                      Frontend.ServeHTTP
//	403  no pool serves the request ("no-route")                             exchange.acquirePool
//	403  the account has no plan in the pool, or no right to the class       exchange.readRequest
//	     ("not-entitled")
//	404  no route for this path, or no admitted request of this id           exchange.serve, exchange.answerEnd
//	405  an end call with a method other than POST                           exchange.answerEnd
//	408  the body did not arrive in time                                     exchange.discardBody
//	413  the body is too long                                                exchange.discardBody
//	429  rejected by the pool's proxy for any reason, or repeated too        responder.reject, check.joinKnown
//	     often
//	431  too many header fields                                              exchange.acceptHeader
//	503  not decided: see undecidedReason and HeaderUndecided                responder.undecided
//
// A route with nginx's dialect sends 403 instead of every status but 2xx and 401, as nginx understands no other. The
// actual status is in HeaderStatus and in the body (responder.dialectStatus).
package extauthz
