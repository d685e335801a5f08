// Package catkinrun is an overload control layer for service call graphs.
//
// One daemon runs beside each backend server. A caller's request enters at the daemon
// of its own host, is authenticated, limited and routed there, travels to the daemon
// beside the chosen backend server, is admitted by that daemon alone, and runs:
//
//	caller -> entry daemon -> serving daemon -> backend server
//
// This package holds the interfaces and the domain types which the other
// packages share. Implementations live in the packages below it, named for
// their stage: filterer lists the steps in the order in which a request passes
// them. Package platform alone knows the users' platform.
package catkinrun
