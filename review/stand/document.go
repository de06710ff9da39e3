package main

import "fmt"

// The names in the configurations of the cases.
const (
	hostName    = "h.example"
	serviceName = "svc1"
	safePrefix  = "/a/"
	unsafePath  = "/b/"
	version     = "v1"
)

// document returns a configuration with a safe and an unsafe route to one service.
func document(number, headerBytes, timeoutMs int) string {
	return fmt.Sprintf(`{"version":"r%d","limits":{"maxHeaderBytes":%d,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"listeners":[{"host":%q,"rules":[`+
		`{"name":"r-a","kind":"safe","sloMs":300,"priority":1,"match":{"prefix":%q},"action":{"service":%q,"timeoutMs":%d,"attempts":2}},`+
		`{"name":"r-b","kind":"unsafe","sloMs":400,"priority":1,"match":{"prefix":%q},"action":{"service":%q,"timeoutMs":%d,"attempts":2}}]}],`+
		`"clusters":[{"name":%q,"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]}`,
		number, headerBytes, hostName, safePrefix, serviceName, timeoutMs, unsafePath, serviceName, timeoutMs, serviceName)
}
