export type { AnySection, Section } from './section';
export type { ExchangeMessage, Statement } from './statement';
export { MAX_STATEMENTS, STATEMENT_VALID_MS } from './statement';
export type { BulletinOptions, StatedContent } from './bulletin';
export { Bulletin } from './bulletin';
export type { ExchangeOptions } from './rounds';
export { partnersOf, startExchange } from './rounds';
