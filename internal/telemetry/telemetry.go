// Package telemetry sets up logging (zap), metrics (Prometheus) and tracing
// (OpenTelemetry).
package telemetry
