/** How a question for tokens and its answer look on their way from peer to peer. */
import { z } from 'zod';
import { customerName, instanceId } from '@cardamomladder/types';

/** Most customers in one question. */
export const CUSTOMERS_AT_A_TIME = 500;

const count = z.number().int().min(0);
const name = z.string().min(1).transform(customerName);
const need = z.object({
  stock: count,
  back: count,
  shareUsed: count,
  demand: z.number().min(0),
  // An older version does not say.
  waiting: count.default(0),
});

/** A question: by customer, what the asker holds, gives back, and is asked for. */
export const tokenQuestion = z.object({
  asker: z.string().min(1).transform(instanceId),
  needs: z.array(z.tuple([name, need])).max(CUSTOMERS_AT_A_TIME),
});

/** The answer: what was lent, or is wanted back (below 0), by customer; one that another instance keeps is missing. */
export const tokenAnswer = z.object({
  lent: z.array(z.tuple([name, z.number().int()])),
});

/** A question for tokens. */
export type TokenQuestion = z.output<typeof tokenQuestion>;
/** What was lent. */
export type TokenAnswer = z.output<typeof tokenAnswer>;
