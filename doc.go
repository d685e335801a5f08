// Package catkinrun is an overload control layer for service call graphs.
//
// One daemon runs beside each backend server. A caller's request enters at the daemon
// of its own host, the entry daemon, which authenticates, limits and routes it and sends
// it to the daemon beside the chosen backend server. This serving daemon alone decides on
// admission and forwards the request to its server:
//
//	caller -> entry daemon -> serving daemon -> backend server
//
// This package holds the interfaces and domain types that the other packages
// share. The packages below it hold the implementations and are named after
// what they do; package filterer lists the steps in the order in which a request
// passes them. Only package platform depends on the users' platform.
package catkinrun
