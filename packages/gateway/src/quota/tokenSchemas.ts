/** Schemas of the token requests and responses exchanged between peers. */
import { z } from 'zod';
import { customerName, instanceId } from '@cardamomladder/types';

/** Maximum number of customers in one token request. */
export const MAX_CUSTOMERS_PER_REQUEST = 500;

const count = z.number().int().min(0);
const name = z.string().min(1).transform(customerName);
const need = z.object({
  stock: count,
  back: count,
  shareUsed: count,
  demand: z.number().min(0),
  // These are absent in requests from older versions.
  waiting: count.default(0),
  sinceResponseMs: count.optional(),
});

/** Token request: for each customer, the tokens that the asker holds and returns, and its demand. */
export const tokenRequest = z.object({
  asker: z.string().min(1).transform(instanceId),
  needs: z.array(z.tuple([name, need])).max(MAX_CUSTOMERS_PER_REQUEST),
});

/** Token response: tokens lent, or, if below 0, to be returned, by customer; omits customers of other lenders. */
export const tokenResponse = z.object({
  lent: z.array(z.tuple([name, z.number().int()])),
});

export type TokenRequest = z.output<typeof tokenRequest>;
export type TokenResponse = z.output<typeof tokenResponse>;
