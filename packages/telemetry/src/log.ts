/**
 * Structured logs: every line is one JSON object, on standard error unless
 * `logToStandardOutput` was called. `debug` decides which namespaces are on
 * (settings `log` or the DEBUG variable); this module only shapes the line.
 */
import createDebug from 'debug';
import type { LineWriter } from './lineWriter';
import { descriptorSink, lineWriter } from './lineWriter';

/** Fields attached to a log line; values must be JSON-serialisable. */
export type LogFields = Record<string, unknown>;

/** A logger for one namespace; each call writes one JSON line. */
export interface Logger {
  info: (message: string, fields?: LogFields) => void;
  warn: (message: string, fields?: LogFields) => void;
  error: (message: string, fields?: LogFields) => void;
}

const ROOT = 'cardamomladder';

// debug prefixes lines with the namespace and a colour code unless told not
// to; a prefixed line is no longer JSON and breaks every log shipper.
createDebug.formatArgs = function formatArgs() {};
createDebug.log = (line: string) => {
  process.stderr.write(`${line}\n`);
};

const STANDARD_OUTPUT = 1;

/** Sends all log lines to standard output without blocking; returns the writer for its counters. */
export const logToStandardOutput = (): LineWriter => {
  const writer = lineWriter(descriptorSink(STANDARD_OUTPUT));
  createDebug.log = (line: string) => writer.write(line);
  return writer;
};

/** Turns namespaces on, in `debug` syntax (e.g. `cardamomladder:*,-cardamomladder:trace`). */
export const enableLogs = (namespaces: string): void => {
  createDebug.enable(namespaces);
};

/** Returns a logger for `cardamomladder:<name>`. */
export const logger = (name: string): Logger => {
  const namespace = `${ROOT}:${name}`;
  const sink = createDebug(namespace);
  const write = (level: string, message: string, fields: LogFields = {}) => {
    if (!sink.enabled) return;
    sink(
      JSON.stringify({ time: new Date().toISOString(), level, ns: namespace, message, ...fields }),
    );
  };
  return {
    info: (message, fields) => write('info', message, fields),
    warn: (message, fields) => write('warn', message, fields),
    error: (message, fields) => write('error', message, fields),
  };
};
