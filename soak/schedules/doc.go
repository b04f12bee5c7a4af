// Package schedules embeds the fault schedules that once broke a promise, as regression
// cases. Each schedule states the cause of the failure in one line.
package schedules
