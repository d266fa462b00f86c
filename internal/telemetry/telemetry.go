// Package telemetry sets up logs, metrics and traces.
package telemetry
