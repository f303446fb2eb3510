/**
 * Writes log lines without blocking the event loop. Node.js writes to pipes
 * synchronously, so a log reader that stops reading would block the process.
 * Lines are therefore held in a bounded buffer and written asynchronously in
 * batches; when the buffer is full, lines are dropped and counted.
 */
import { write } from 'node:fs';
import { Socket } from 'node:net';

/** Maximum size of the buffer in bytes: about a thousand lines. */
export const MAX_BUFFER_BYTES = 256 * 1024;
/** Time for which lines are collected into one write, ms. */
export const BATCH_INTERVAL_MS = 200;

/** Writes text to the log destination and calls `done` when the write has finished. */
export type Sink = (text: string, done: (error?: Error | null) => void) => void;

/** A bounded, non-blocking writer of lines. */
export interface LineWriter {
  write: (line: string) => void;
  /** Returns the number of lines dropped so far. */
  dropped: () => number;
  /** Writes the buffered lines; resolves when they are written, or after `BATCH_INTERVAL_MS` if the reader is blocked. */
  flush: () => Promise<void>;
}

/**
 * Creates a sink for a file descriptor. Pipes and sockets are written by the
 * event loop when they are writable; anything else (a file) by the thread pool.
 */
export const descriptorSink = (fd: number): Sink => {
  try {
    const socket = new Socket({ fd, readable: false, writable: true });
    socket.unref();
    socket.on('error', () => {
      // The reader has closed its end; every write reports the error and counts as dropped.
    });
    return (text, done) => {
      socket.write(text, done);
    };
  } catch {
    // Not a pipe or socket: the Socket constructor throws.
    return (text, done) => {
      write(fd, text, (error) => done(error));
    };
  }
};

/** Creates a writer that buffers up to `maxBytes` and writes to `sink`. */
export const lineWriter = (sink: Sink, maxBytes = MAX_BUFFER_BYTES): LineWriter => {
  let pendingLines: string[] = [];
  let pendingBytes = 0;
  let droppedLines = 0;
  let reportedDrops = 0;
  let writing = false;
  let timer: NodeJS.Timeout | undefined;

  const schedule = (): void => {
    if (timer || writing || pendingLines.length === 0) return;
    timer = setTimeout(flush, BATCH_INTERVAL_MS);
    timer.unref();
  };
  const takePending = (): string => {
    if (droppedLines > reportedDrops) {
      pendingLines.push(
        `{"level":"warn","message":"log lines dropped: the reader is too slow","dropped":${droppedLines - reportedDrops}}\n`,
      );
      reportedDrops = droppedLines;
    }
    const text = pendingLines.join('');
    pendingLines = [];
    pendingBytes = 0;
    return text;
  };
  function flush(): void {
    timer = undefined;
    writing = true;
    sink(takePending(), (error) => {
      writing = false;
      if (error) droppedLines += 1;
      schedule();
    });
  }

  return {
    write: (line) => {
      if (pendingBytes + line.length > maxBytes) {
        droppedLines += 1;
        return;
      }
      pendingLines.push(`${line}\n`);
      pendingBytes += line.length + 1;
      schedule();
    },
    dropped: () => droppedLines,
    flush: () =>
      new Promise((resolve) => {
        setTimeout(resolve, BATCH_INTERVAL_MS);
        sink(takePending(), () => resolve());
      }),
  };
};
