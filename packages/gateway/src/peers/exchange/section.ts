/** Kinds of content that instances tell each other about in the exchange. */
import type { z } from 'zod';

/**
 * One kind of content. Instances that do not know a section pass over it, so sections
 * can be added while older versions run.
 */
export interface Section<Content> {
  /** Its name in messages. */
  name: string;
  /** The check that received content must pass. */
  schema: z.ZodType<Content>;
  /** Maximum size of one instance's content as JSON, in bytes. */
  maxBytes: number;
}

/** A section of any content. */
export type AnySection = Section<unknown>;
