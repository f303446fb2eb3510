/**
 * Stand-in of the platform's member list. Targets announce themselves with
 * `PUT /v1/members/:id` and leave with an update to `state: leaving` or with
 * `DELETE`. Readers get a snapshot taken every `lagMs`, so they see changes
 * with a delay, as on the platform.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readJson, sendJson } from '@cardamomladder/http-json';
import type { Member, MembersReply } from '../protocol';

/** A member-list stand-in. */
export interface MemberListStandin {
  /** The current members by id; published with a delay. */
  current: Map<string, Member>;
  /** Handles the request if it is for `/v1/members`; returns false otherwise. */
  handle: (req: IncomingMessage, res: ServerResponse) => boolean;
  /** Number of list requests served, for the capacity benchmark. */
  reads: () => number;
  stop: () => void;
}

/** Creates a member-list stand-in; `lagMs` is the interval at which the list is published. */
export const createMemberListStandin = (lagMs = 1000): MemberListStandin => {
  const current = new Map<string, Member>();
  let version = 0;
  let published: MembersReply = { version, members: [], asOf: Date.now() };
  let readCount = 0;
  const publish = () => {
    if (published.version === version) {
      published = { ...published, asOf: Date.now() };
      return;
    }
    published = { version, members: [...current.values()], asOf: Date.now() };
  };
  const timer = setInterval(publish, lagMs);
  timer.unref();

  const route = async (req: IncomingMessage, res: ServerResponse, url: URL) => {
    const path = url.pathname;
    const id = /^\/v1\/members\/([^/]+)$/.exec(path)?.[1];
    if (path === '/v1/members' && req.method === 'GET') {
      readCount += 1;
      const since = Number(url.searchParams.get('since') ?? 'NaN');
      if (since === published.version) {
        sendJson(res, 200, {
          version: published.version,
          unchanged: true,
          members: [],
          asOf: published.asOf,
        });
        return;
      }
      sendJson(res, 200, published);
      return;
    }
    if (id && req.method === 'PUT') {
      const member = (await readJson(req)) as Member;
      current.set(decodeURIComponent(id), { ...member, id: decodeURIComponent(id) });
      version += 1;
      sendJson(res, 200, { ok: true });
      return;
    }
    if (id && req.method === 'DELETE') {
      if (current.delete(decodeURIComponent(id))) version += 1;
      sendJson(res, 200, { ok: true });
      return;
    }
    sendJson(res, 404, { error: `no route ${req.method} ${path}` });
  };

  const handle = (req: IncomingMessage, res: ServerResponse): boolean => {
    const url = new URL(req.url ?? '/', 'http://standin');
    if (!url.pathname.startsWith('/v1/members')) return false;
    route(req, res, url).catch((error: Error & { status?: number }) => {
      if (!res.headersSent) sendJson(res, error.status ?? 500, { error: error.message });
    });
    return true;
  };

  return { current, handle, reads: () => readCount, stop: () => clearInterval(timer) };
};
