/**
 * What this instance says to the fleet, and what it has heard from the others. State
 * of the process only: after a restart it is heard again within a few rounds, and an
 * instance that is cut off from its peers forgets them within `STATEMENT_VALID_MS` and
 * decides alone.
 */
import type { Result } from 'neverthrow';
import { Subject } from 'rxjs';
import type { Failure, InstanceId } from '@cardamomladder/types';
import type { AnySection, Section } from './section';
import type { ExchangeMessage, Statement } from './statement';
import { MAX_STATEMENTS, STATEMENT_VALID_MS, parseMessage } from './statement';

/** How long an expired statement is remembered, ms: longer than any copy of it is under way. */
const EXPIRED_RETENTION_MS = 60_000;

/** Content that another instance has stated. */
export interface StatedContent<Content> {
  id: InstanceId;
  content: Content;
  /** Time since it was stated, ms. */
  ageMs: number;
}

interface HeardStatement {
  statement: Statement;
  /** When the statement was made, ms on this instance's monotonic clock. */
  madeAt: number;
}

/** Options of a bulletin. */
export interface BulletinOptions {
  self: InstanceId;
  /** Start time of this process (Unix time, ms). */
  run: number;
  /** Monotonic clock, ms. */
  now: () => number;
}

const isLater = (one: Statement, other: Statement): boolean =>
  one.run === other.run ? one.sequence > other.sequence : one.run > other.run;

/** The statements of all instances, as far as this one has heard them. */
export class Bulletin {
  /** Emits the id of an instance whose statement was heard for the first time, replaced or dropped. */
  readonly changes = new Subject<InstanceId>();

  private readonly sections = new Map<string, AnySection>();

  private readonly heard = new Map<InstanceId, HeardStatement>();

  /**
   * The last expired statement of each instance. Ages do not include the time on the way,
   * so a peer may pass on a statement that has expired here; if it were taken again, it
   * could circulate for as long as peers exchange messages.
   */
  private readonly expired = new Map<InstanceId, HeardStatement>();

  private readonly own: Record<string, unknown> = {};

  private sequence = 0;

  constructor(private readonly options: BulletinOptions) {}

  /** Makes a section known; its content is then checked when it is received. */
  register<Content>(section: Section<Content>): void {
    this.sections.set(section.name, section);
  }

  /** Sets this instance's content of a section; `undefined` to say nothing, as does content over the section's size. */
  say<Content>({ name, maxBytes }: Section<Content>, content: Content | undefined): void {
    if (content === undefined || JSON.stringify(content).length > maxBytes) delete this.own[name];
    else this.own[name] = content;
  }

  /** Returns what the other instances have said, without statements that are no longer valid. */
  read<Content>({ name }: Section<Content>): StatedContent<Content>[] {
    this.dropExpired();
    const now = this.options.now();
    return [...this.heard.values()]
      .filter(({ statement }) => name in statement.sections)
      .map(({ statement, madeAt }) => ({
        id: statement.id,
        content: statement.sections[name] as Content,
        ageMs: now - madeAt,
      }));
  }

  /** Ids of the other instances heard. */
  ids(): InstanceId[] {
    this.dropExpired();
    return [...this.heard.keys()];
  }

  /** Builds a message with a new statement of this instance, if it has anything to say, and those heard from others. */
  message(): ExchangeMessage {
    this.dropExpired();
    const { self, run, now } = this.options;
    this.sequence += 1;
    const own: Statement = { id: self, run, sequence: this.sequence, ageMs: 0, sections: this.own };
    const others = [...this.heard.values()].map(({ statement, madeAt }) => ({
      ...statement,
      ageMs: Math.max(0, Math.round(now() - madeAt)),
    }));
    const hasContent = Object.keys(this.own).length > 0;
    const statements = [...(hasContent ? [own] : []), ...others].slice(0, MAX_STATEMENTS);
    return { statements };
  }

  /** Takes over newer statements from a peer's message; an invalid message changes nothing. */
  receive(received: unknown): Result<void, Failure> {
    return parseMessage(received, this.sections).map(({ statements }) =>
      statements.forEach((statement) => this.take(statement)),
    );
  }

  /** Drops what an instance has said. */
  forget(id: InstanceId): void {
    if (this.heard.delete(id)) this.changes.next(id);
  }

  private take(statement: Statement): void {
    const { id, ageMs } = statement;
    const current = this.heard.get(id) ?? this.expired.get(id);
    if (id === this.options.self || (current && !isLater(statement, current.statement))) return;
    this.expired.delete(id);
    this.heard.set(id, { statement, madeAt: this.options.now() - ageMs });
    this.changes.next(id);
  }

  private dropExpired(): void {
    const oldest = this.options.now() - STATEMENT_VALID_MS;
    this.heard.forEach((heard, id) => {
      if (heard.madeAt >= oldest) return;
      this.expired.set(id, heard);
      this.heard.delete(id);
      this.changes.next(id);
    });
    this.expired.forEach(({ madeAt }, id) => {
      if (madeAt < oldest - EXPIRED_RETENTION_MS) this.expired.delete(id);
    });
  }
}
