/**
 * Writes log lines without ever blocking the loop. Node writes to a pipe
 * synchronously, so a log reader that stops reading would stop the process;
 * here lines wait in a bounded buffer, are written in batches by an
 * asynchronous call, and are dropped and counted once the buffer is full.
 */
import { write } from 'node:fs';
import { Socket } from 'node:net';

/** Most bytes that wait to be written: about a thousand lines. */
export const BUFFER_MOST_BYTES = 256 * 1024;
/** How long lines wait for others to share a write, ms. */
export const BATCH_MS = 200;

/** Writes bytes to where logs go; calls back when done. */
export type Sink = (text: string, done: (error?: Error | null) => void) => void;

/** A bounded, non-blocking writer of lines. */
export interface LineWriter {
  write: (line: string) => void;
  /** Lines dropped so far. */
  dropped: () => number;
  /** Writes what still waits; resolves when it is out, or after `BATCH_MS` if the reader is stuck. */
  flush: () => Promise<void>;
}

/**
 * A sink over a file descriptor. A pipe or socket is written by the event
 * loop once it has room; anything else (a file) by the thread pool.
 */
export const descriptorSink = (fd: number): Sink => {
  try {
    const socket = new Socket({ fd, readable: false, writable: true });
    socket.unref();
    socket.on('error', () => {
      // The reader is gone; each write reports it and its lines count as dropped.
    });
    return (text, done) => {
      socket.write(text, done);
    };
  } catch {
    // Not a pipe or socket: Node refuses to wrap it.
    return (text, done) => {
      write(fd, text, (error) => done(error));
    };
  }
};

/** Starts a writer over `sink`. */
export const lineWriter = (sink: Sink, mostBytes = BUFFER_MOST_BYTES): LineWriter => {
  let waiting: string[] = [];
  let bytes = 0;
  let droppedLines = 0;
  let reported = 0;
  let writing = false;
  let timer: NodeJS.Timeout | undefined;

  const schedule = (): void => {
    if (timer || writing || waiting.length === 0) return;
    timer = setTimeout(flush, BATCH_MS);
    timer.unref();
  };
  const takeRest = (): string => {
    if (droppedLines > reported) {
      waiting.push(
        `{"level":"warn","message":"log lines dropped: the reader is too slow","dropped":${droppedLines - reported}}\n`,
      );
      reported = droppedLines;
    }
    const text = waiting.join('');
    waiting = [];
    bytes = 0;
    return text;
  };
  function flush(): void {
    timer = undefined;
    writing = true;
    sink(takeRest(), (error) => {
      writing = false;
      if (error) droppedLines += 1;
      schedule();
    });
  }

  return {
    write: (line) => {
      if (bytes + line.length > mostBytes) {
        droppedLines += 1;
        return;
      }
      waiting.push(`${line}\n`);
      bytes += line.length + 1;
      schedule();
    },
    dropped: () => droppedLines,
    flush: () =>
      new Promise((resolve) => {
        setTimeout(resolve, BATCH_MS);
        sink(takeRest(), () => resolve());
      }),
  };
};
