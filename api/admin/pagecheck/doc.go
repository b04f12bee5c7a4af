// Command pagecheck signs in to the status page of a running node in a real
// browser, checks the contents of the page and saves a screenshot of it. It uses
// the WebDriver protocol with a driver that is already running; the script
// .ci/status-page starts one.
package main
