/**
 * `cardamomladder explain ID [FILES...]`: tells the story of one request from
 * log files (or standard input): what was decided, on which inputs, and what
 * the instance believed then.
 */
import { readFile } from 'node:fs/promises';

/** A parsed log line and where it came from. */
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

/** Beliefs that stay in force until the next line of their kind. */
const STANDING = new Set(['belief', 'store', 'registration', 'lifecycle']);
/** What targets said of themselves: it stands until the next line of its kind for the same target. */
const SELF_REPORTS = new Set(['target-limit', 'target-leaving', 'target-rest']);
/** Standing lines shown before a request's first line, per source: the newest of each subject. */
const OMITTED = new Set(['time', 'level', 'ns', 'message', 'request']);

const parseLine = (source: string, line: string): LogLine | undefined => {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    const fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const prefix = line.slice(0, start).trim().split(/\s+/).at(-1) ?? '';
    const { time = '', message = '' } = fields as { time?: string; message?: string };
    return { source: prefix === '' ? source : prefix, time, message, fields };
  } catch {
    // Not one of ours: other programs write to the same stream.
    return undefined;
  }
};

const subjectOf = ({ message, fields }: LogLine): string => {
  const subject = fields.id ?? fields.target ?? fields.failureDomain ?? fields.key ?? '';
  return `${message}/${String(fields.change ?? '')}/${String(subject)}`;
};

const show = (line: LogLine, label = ''): string => {
  const details = Object.entries(line.fields)
    .filter(([name]) => !OMITTED.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  return `${line.time} ${line.source} ${label}${line.message}: ${details.join(' ')}`;
};

/** Targets that a request's lines name. */
const targetsIn = (lines: LogLine[]): Set<string> => {
  const ids = lines.flatMap(({ fields }) => [
    fields.target,
    ...((fields.tried as unknown[] | undefined) ?? []),
    ...((fields.targets as { id: unknown }[] | undefined) ?? []).map((t) => t.id),
  ]);
  return new Set(ids.filter((id) => typeof id === 'string'));
};

/** The newest standing line of each subject that bears on the request, as of its first line. */
const beliefsBefore = (lines: LogLine[], own: LogLine[]): LogLine[] => {
  const [first] = own;
  const targets = targetsIn(own);
  const newest = new Map<string, LogLine>();
  const isOfOthers = ({ message, fields }: LogLine): boolean => {
    if (SELF_REPORTS.has(message)) return !targets.has(String(fields.target));
    const names = ['target', 'target-gone', 'instance', 'instance-gone'];
    return names.includes(String(fields.change)) && !targets.has(String(fields.id));
  };
  lines
    .filter(({ message }) => STANDING.has(message) || SELF_REPORTS.has(message))
    .filter(({ source, time }) => source === first.source && time <= first.time)
    .filter((line) => !isOfOthers(line))
    .forEach((line) => newest.set(subjectOf(line), line));
  return [...newest.values()].sort((a, b) => (a.time < b.time ? -1 : 1));
};

const byTime = (a: LogLine, b: LogLine): number => (a.time < b.time ? -1 : Number(a.time > b.time));

/** The story of request `id`, a line each. */
export const explainRequest = (id: string, sources: readonly LogSource[]): string[] => {
  const lines = sources
    .flatMap(({ name, text }) => text.split('\n').map((line) => parseLine(name, line)))
    .filter((line) => line !== undefined)
    .sort(byTime);
  const own = lines.filter(({ fields }) => fields.request === id);
  if (own.length === 0) {
    const leftOut = lines.some(({ fields }) => Number(fields.leftOut ?? fields.dropped ?? 0) > 0);
    return [
      `no line names request ${id}`,
      leftOut
        ? 'lines were left out under load in these logs (see leftOut, dropped): it may have been one of them'
        : 'no line was left out: it did not reach these instances, or was answered well (those are sampled)',
    ];
  }
  const standing = beliefsBefore(lines, own);
  const incomplete = own.some(({ fields }) => Number(fields.leftOut ?? 0) > 0);
  return [
    ...standing.map((line) => show(line, 'believed: ')),
    ...own.map((line) => show(line)),
    ...(incomplete ? ['lines of these kinds were left out under load just before (leftOut)'] : []),
  ];
};

const readStandardInput = async (): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

/** Runs the command; 0 when the request was found, 1 when not, 2 when a file can't be read. */
export const explainCommand = async (id: string, files: readonly string[]): Promise<number> => {
  const sources: LogSource[] = [];
  for (const file of files) {
    try {
      sources.push({ name: file, text: await readFile(file, 'utf8') });
    } catch (error) {
      console.error(`cannot read ${file} (${(error as Error).message}); give log files`);
      return 2;
    }
  }
  if (files.length === 0) sources.push({ name: 'input', text: await readStandardInput() });
  const story = explainRequest(id, sources);
  console.log(story.join('\n'));
  return story[0].startsWith('no line names') ? 1 : 0;
};
