/**
 * Structured logging: every line is one JSON object, written to standard error
 * unless `logToStandardOutput` was called. The `debug` package decides which
 * namespaces are enabled (`log` setting or DEBUG variable); this module formats
 * the lines.
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

const ROOT_NAMESPACE = 'cardamomladder';

// By default, `debug` prefixes lines with the namespace and a colour code. A
// prefixed line is not valid JSON and breaks log shippers.
createDebug.formatArgs = function formatArgs() {};
createDebug.log = (line: string) => {
  process.stderr.write(`${line}\n`);
};

const STDOUT_FD = 1;

/** Redirects all log lines to standard output through a non-blocking writer, which is returned for its drop counter. */
export const logToStandardOutput = (): LineWriter => {
  const writer = lineWriter(descriptorSink(STDOUT_FD));
  createDebug.log = (line: string) => writer.write(line);
  return writer;
};

/** Enables log namespaces, in `debug` syntax (e.g. `cardamomladder:*,-cardamomladder:trace`). */
export const enableLogs = (namespaces: string): void => {
  createDebug.enable(namespaces);
};

/** Creates a logger for the namespace `cardamomladder:<name>`. */
export const logger = (name: string): Logger => {
  const namespace = `${ROOT_NAMESPACE}:${name}`;
  const debug = createDebug(namespace);
  const write = (level: string, message: string, fields: LogFields = {}) => {
    if (!debug.enabled) return;
    debug(
      JSON.stringify({ time: new Date().toISOString(), level, ns: namespace, message, ...fields }),
    );
  };
  return {
    info: (message, fields) => write('info', message, fields),
    warn: (message, fields) => write('warn', message, fields),
    error: (message, fields) => write('error', message, fields),
  };
};
