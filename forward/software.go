package forward

// fixSoftware restricts the rest of the request to one version of the endpoints' software. Events
// of different versions do not form one stream.
func (c *clientRequest) fixSoftware(version string) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.dispatchRequest.Software, c.dispatchRequest.SoftwareFixed = version, true
}
