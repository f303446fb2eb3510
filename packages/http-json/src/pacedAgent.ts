/** A client agent whose connections are parsed in parts. */
import type { AgentOptions, ClientRequestArgs } from 'node:http';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { readPacer } from './readPacer';

/** Agent of Node.js whose connections are paced (`ReadPacer`). */
export class PacedAgent extends Agent {
  constructor(options?: AgentOptions) {
    super(options);
    // Bytes behind a response would be taken for a part of the next one.
    this.prependListener('free', (socket: Socket) => {
      if (readPacer.hasRest(socket)) socket.destroy();
    });
  }

  /** Called by Node.js to open a connection. */
  override createConnection(
    options: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const socket = super.createConnection(options, callback);
    readPacer.pace(socket as Socket);
    return socket;
  }
}
