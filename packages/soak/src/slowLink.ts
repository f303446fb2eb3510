/** TCP proxies that share one link of limited bandwidth, as all peers and the store share a machine's link. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { pipeline } from 'node:stream/promises';
import { sleep, splitAddress } from '@cardamomladder/types';

const MS_PER_SECOND = 1000;

/** A link towards this process. */
export interface SlowLink {
  /** Returns the address at which `target` is reached over the link. */
  through: (target: string) => Promise<string>;
  /** Bytes of responses carried so far. */
  carried: () => number;
  /** Carries no further responses. */
  stall: () => void;
  close: () => void;
}

/** Starts a link of the given capacity for the responses of all targets together. */
export const startSlowLink = (bytesPerSecond: number): SlowLink => {
  let freeAt = 0;
  let carried = 0;
  const servers: Server[] = [];
  const sockets = new Set<Socket>();
  async function* throttled(source: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    for await (const chunk of source) {
      freeAt =
        Math.max(freeAt, performance.now()) + (chunk.length / bytesPerSecond) * MS_PER_SECOND;
      carried += chunk.length;
      // Node's timers take no infinite delay.
      await (freeAt === Infinity ? new Promise(() => {}) : sleep(freeAt - performance.now()));
      yield chunk;
    }
  }
  return {
    through: async (target) => {
      const server = createServer((client) => {
        const upstream = connect(splitAddress(target));
        const closeBoth = () => [client, upstream].forEach((socket) => socket.destroy());
        [client, upstream].forEach((socket) => {
          sockets.add(socket);
          socket.on('error', closeBoth);
        });
        client.on('close', closeBoth);
        client.pipe(upstream);
        pipeline(upstream, throttled, client).catch(closeBoth);
      });
      servers.push(server);
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    },
    carried: () => carried,
    stall: () => {
      freeAt = Infinity;
    },
    close: () => {
      servers.forEach((server) => server.close());
      sockets.forEach((socket) => socket.destroy());
    },
  };
};
