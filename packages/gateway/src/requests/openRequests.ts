/** Finds the execution behind a response that is not complete. */
import type { ServerResponse } from 'node:http';
import { responsesBefore, responsesBehind } from '../server/callerConnections';
import type { RequestExecution } from './requestExecution';
import { refuseStopping } from './responses';

const executions = new WeakMap<ServerResponse, RequestExecution>();

/** Makes the execution of a request known to the other requests on its connection, and to a stop. */
export const announceExecution = (execution: RequestExecution): void => {
  executions.set(execution.res, execution);
};

/** The execution of a request; undefined while it is received or admitted. */
export const executionOf = (res: ServerResponse): RequestExecution | undefined =>
  executions.get(res);

/** How far a request is, for the log: what it waits for, where it was sent, and the time that it has left. */
export const describeProgress = (res: ServerResponse, now: number) => {
  const execution = executionOf(res);
  const before = responsesBefore(res).length;
  if (!execution) return { state: 'received', before };
  const { request, tried, sends, isAnswered } = execution;
  const sent = execution.hasConnected ? 'at target' : 'unsent';
  return {
    state: isAnswered ? 'answered' : sent,
    before,
    sends,
    tried: [...tried],
    allowedMs: Math.round(request.deadlineAt - now),
  };
};

/** Refuses a request as this process ends, if no target may have seen it; returns whether it did. */
export const refuseUnsent = (res: ServerResponse): boolean => {
  const execution = executionOf(res);
  if (execution) return execution.refuseUnsent();
  if (res.headersSent) return false;
  refuseStopping(res);
  return true;
};

/** Gives up a request as this process ends, if answers behind it on its connection can go out then. */
export const giveUpAtStop = (res: ServerResponse): void => {
  if (responsesBehind(res).some(({ writableEnded }) => writableEnded))
    executionOf(res)?.giveUpAtStop();
};
