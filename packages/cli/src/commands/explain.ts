/**
 * `cardamomladder explain ID [FILES...]`: explains the outcome of one request
 * from log files or standard input: the decisions, their inputs, and the state
 * that the instance knew at that time.
 */
import { readFile } from 'node:fs/promises';

/** A parsed log line and its source. */
interface LogLine {
  source: string;
  time: string;
  message: string;
  fields: Record<string, unknown>;
}

/** Log text with the name of its file or process. */
export interface LogSource {
  name: string;
  text: string;
}

/** Messages about state that holds until the next message with the same state key. */
const STATE_MESSAGES = new Set(['belief', 'store', 'registration', 'lifecycle']);
/** Messages about what a target reported of itself; each holds until the target's next one. */
const TARGET_REPORT_MESSAGES = new Set([
  'target-limit',
  'target-leaving',
  'target-pace',
  'target-rest',
]);
/** Fields that are not printed with a line's details. */
const OMITTED_FIELDS = new Set(['time', 'level', 'ns', 'message', 'request']);

const parseLine = (source: string, line: string): LogLine | undefined => {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const prefix = line.slice(0, start).trim().split(/\s+/).at(-1) ?? '';
    const { time = '', message = '' } = fields as { time?: string; message?: string };
    return { source: prefix === '' ? source : prefix, time, message, fields };
  } catch {
    // Not a log line of this system; other programs may write to the same stream.
    return undefined;
  }
};

const stateKey = ({ message, fields }: LogLine): string => {
  const subject = fields.id ?? fields.target ?? fields.failureDomain ?? fields.key ?? '';
  return `${message}/${String(fields.change ?? '')}/${String(subject)}`;
};

const formatLine = (line: LogLine, label = ''): string => {
  const details = Object.entries(line.fields)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  return `${line.time} ${line.source} ${label}${line.message}: ${details.join(' ')}`;
};

/** Ids of the targets that a request's lines refer to. */
const referencedTargets = (lines: LogLine[]): Set<string> => {
  const ids = lines.flatMap(({ fields }) => [
    fields.target,
    ...((fields.tried as unknown[] | undefined) ?? []),
    ...((fields.targets as { id: unknown }[] | undefined) ?? []).map((t) => t.id),
  ]);
  return new Set(ids.filter((id) => typeof id === 'string'));
};

/** The latest state lines relevant to a request, from the source and up to the time of its first line. */
const stateBefore = (lines: LogLine[], requestLines: LogLine[]): LogLine[] => {
  const [first] = requestLines;
  const targets = referencedTargets(requestLines);
  const latest = new Map<string, LogLine>();
  const isUnrelated = ({ message, fields }: LogLine): boolean => {
    if (TARGET_REPORT_MESSAGES.has(message)) return !targets.has(String(fields.target));
    const names = ['target', 'target-gone', 'instance', 'instance-gone'];
    return names.includes(String(fields.change)) && !targets.has(String(fields.id));
  };
  lines
    .filter(({ message }) => STATE_MESSAGES.has(message) || TARGET_REPORT_MESSAGES.has(message))
    .filter(({ source, time }) => source === first.source && time <= first.time)
    .filter((line) => !isUnrelated(line))
    .forEach((line) => latest.set(stateKey(line), line));
  return [...latest.values()].sort((a, b) => (a.time < b.time ? -1 : 1));
};

const byTime = (a: LogLine, b: LogLine): number => (a.time < b.time ? -1 : Number(a.time > b.time));

/** Explains request `id`: the state that preceded it, then its own log lines, in order of time. */
export const explainRequest = (id: string, sources: readonly LogSource[]): string[] => {
  const lines = sources
    .flatMap(({ name, text }) => text.split('\n').map((line) => parseLine(name, line)))
    .filter((line) => line !== undefined)
    .sort(byTime);
  const requestLines = lines.filter(({ fields }) => fields.request === id);
  if (requestLines.length === 0) {
    const linesOmitted = lines.some(
      ({ fields }) => Number(fields.leftOut ?? fields.dropped ?? 0) > 0,
    );
    return [
      `no line names request ${id}`,
      linesOmitted
        ? 'lines were left out under load in these logs (see leftOut, dropped): it may have been one of them'
        : 'no lines were left out: the request did not reach these instances, or succeeded (those are sampled)',
    ];
  }
  const stateLines = stateBefore(lines, requestLines);
  const incomplete = requestLines.some(({ fields }) => Number(fields.leftOut ?? 0) > 0);
  return [
    ...stateLines.map((line) => formatLine(line, 'believed: ')),
    ...requestLines.map((line) => formatLine(line)),
    ...(incomplete ? ['lines of these kinds were left out under load just before (leftOut)'] : []),
  ];
};

const readStandardInput = async (): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

/** Runs the command; returns exit code 0 if the request was found, 1 if not, 2 if a file cannot be read. */
export const explainCommand = async (id: string, files: readonly string[]): Promise<number> => {
  const sources: LogSource[] = [];
  for (const file of files) {
    try {
      sources.push({ name: file, text: await readFile(file, 'utf8') });
    } catch (error) {
      console.error(`cannot read log file ${file} (${(error as Error).message})`);
      return 2;
    }
  }
  if (files.length === 0) sources.push({ name: 'input', text: await readStandardInput() });
  const explanation = explainRequest(id, sources);
  console.log(explanation.join('\n'));
  return explanation[0].startsWith('no line names') ? 1 : 0;
};
