/** How the parsing of what connections have sent is spread over turns of the event loop. */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ReadPacer } from '../readPacer';

const READ_BYTES = 64 * 1024;
/** Time within which a turn ends while others send small chunks, ms. */
const MAX_TURN_MS = 50;

/** A pacer whose clock advances with the bytes that are parsed. */
const startPacer = (msPerByte: number) => {
  let nowMs = 0;
  let due: (() => void)[] = [];
  const turnsMs: number[] = [];
  let turnSince = 0;
  const pacer = new ReadPacer({
    now: () => nowMs,
    nextTurn: (callback) => {
      due.push(callback);
    },
  });
  const connect = () => {
    const parsed: Buffer[] = [];
    const socket = new Duplex({ read() {}, write() {} }) as Socket;
    pacer.pace(socket);
    socket.on('data', (part: Buffer) => {
      parsed.push(part);
      nowMs += part.length * msPerByte;
    });
    return { socket, bytes: () => Buffer.concat(parsed) };
  };
  /** Ends the turn: what waits for the next one is called. */
  const endTurn = () => {
    const callbacks = due;
    due = [];
    callbacks.forEach((callback) => callback());
    turnsMs.push(nowMs - turnSince);
    turnSince = nowMs;
  };
  return { pacer, connect, endTurn, turnsMs, isIdle: () => due.length === 0 };
};

const nextTick = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

describe('connections that have sent what takes long to parse', () => {
  it('take a short time of each turn, all together', async () => {
    // Guards against an event loop that stands still while bodies arrive in small chunks.
    const { connect, endTurn, turnsMs, isIdle } = startPacer(0.001);
    const connections = Array.from({ length: 20 }, connect);
    await nextTick();
    const mayRead = connections.map(({ socket }) => socket.push(Buffer.alloc(READ_BYTES, 'x')));
    expect(mayRead).toEqual(connections.map(() => false));
    while (!isIdle()) endTurn();
    expect(connections.map(({ bytes }) => bytes().length)).toEqual(
      connections.map(() => READ_BYTES),
    );
    expect(Math.max(...turnsMs)).toBeLessThan(MAX_TURN_MS);
  });

  it('let others be parsed in the turn in which they are read', async () => {
    // Guards against lookups that wait until all small chunks of another connection are parsed.
    const { connect, endTurn, isIdle } = startPacer(0.001);
    const [large, small] = [connect(), connect()];
    await nextTick();
    large.socket.push(Buffer.alloc(READ_BYTES, 'x'));
    endTurn();
    small.socket.push(Buffer.from('GET'));
    expect(small.bytes().toString()).toBe('GET');
    expect(isIdle()).toBe(false);
    expect(large.bytes().length).toBeLessThan(READ_BYTES);
  });

  it('are read again once nothing of them waits', async () => {
    // Guards against a connection that is never read again.
    const { connect, endTurn, isIdle } = startPacer(0.001);
    const { socket } = connect();
    await nextTick();
    expect(socket.push(Buffer.alloc(READ_BYTES, 'x'))).toBe(false);
    while (!isIdle()) endTurn();
    expect(socket.push(Buffer.from('more'))).toBe(true);
  });
});

describe('a paced connection', () => {
  it('gets all bytes in order and then the end, however it is read, held and paused', async () => {
    // Guards against bytes that are lost, swapped or parsed while the connection is held.
    const step = fc.oneof(
      fc.record({ kind: fc.constant('push' as const), bytes: fc.integer({ min: 1, max: 40_000 }) }),
      ...(['turn', 'hold', 'release', 'pause', 'resume', 'tick'] as const).map((kind) =>
        fc.record({ kind: fc.constant(kind), bytes: fc.constant(0) }),
      ),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
        const { pacer, connect, endTurn, isIdle } = startPacer(0.0005);
        const { socket, bytes } = connect();
        let hasEnded = false;
        socket.on('end', () => {
          hasEnded = true;
        });
        await nextTick();
        const sent: Buffer[] = [];
        const releases: (() => void)[] = [];
        for (const { kind, bytes: count } of steps) {
          const before = bytes().length;
          if (kind === 'push') {
            const part = Buffer.alloc(count, `${sent.length} `);
            sent.push(part);
            socket.push(part);
          } else if (kind === 'turn') endTurn();
          else if (kind === 'hold') releases.push(pacer.hold(socket));
          else if (kind === 'release') releases.pop()?.();
          else if (kind === 'pause') socket.pause();
          else if (kind === 'resume') socket.resume();
          else await nextTick();
          if (releases.length > 0 && kind === 'turn') expect(bytes().length).toBe(before);
        }
        socket.push(null);
        releases.forEach((release) => release());
        socket.resume();
        for (let i = 0; i < 1000 && (!isIdle() || !hasEnded); i += 1) {
          endTurn();
          await nextTick();
        }
        expect(bytes().equals(Buffer.concat(sent))).toBe(true);
        expect(hasEnded).toBe(true);
      }),
      { numRuns: 200 },
    );
  });
});
