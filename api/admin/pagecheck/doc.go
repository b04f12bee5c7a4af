// Command pagecheck signs in to the status page of a running node in a real
// browser, checks what the page shows and saves a picture of it. It speaks the
// WebDriver protocol to a driver that is already running; script .ci/status-page
// starts one.
package main
