// Package standin holds in-memory stand-ins for tests and local deployments: the platform's
// append-only log, metadata store and workers, the desks' backend servers, and a network whose
// links can fail.
package standin
