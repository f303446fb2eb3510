/** What the admission of a request leads to: its first send, or a refusal. */
import type { Destination } from './destination';
import type { RequestExecution } from './requestExecution';
import type { Send } from './send';

/** The first send of a request, started at the moment at which its destination is chosen. */
export interface FirstSend {
  kind: 'sent';
  destination: Destination;
  send: Send;
}

/** Why a request is not sent, when its caller may return, and what that was decided from. */
export interface Refusal {
  kind: 'rejected';
  reason: string;
  retryAfterMs: number;
  admission?: {
    expectedWaitMs: number | undefined;
    ahead: number;
    waitedMs: number;
    turn: 'given' | 'none-left';
    caller: 'returned' | 'new';
  };
}

/** Sends the request; called in the same turn of the event loop as the choice, so that the next choice counts it. */
export type StartSend = (execution: RequestExecution, destination: Destination) => Send;

/** The outcome of the admission. */
export type Admitted = FirstSend | Refusal;
