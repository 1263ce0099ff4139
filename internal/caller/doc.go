// Package caller implements an entry's interface to callers: order-service
// requests over plain HTTP, and requests and jobs over Connect.
//
// Over HTTP a request is POST /v1/call/CLASS with the body for the backend
// server. The header Sniperill-Outcome of the answer gives the outcome:
//
//	done          the status and body are the backend server's
//	not-run       the request did not run and never will; 429 or 503, with
//	              Retry-After if a retry makes sense, 400, 403 or 404 if not
//	may-have-run  it is impossible to know whether the request ran; 504
package caller
