/**
 * Collects the body of a message in blocks. A Buffer takes some 190 bytes of the heap
 * besides its content, and may be a view of all that was read with it, so that the parts
 * in which a body arrives can take hundreds of times as much memory as it has bytes. What
 * is copied into blocks takes as much as its bytes, and one block at most.
 */
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1024;

/** Bytes in the order in which they were received. */
export class ReceivedBytes {
  private blocks: Buffer[] = [];

  /** The last block, which is filled up to `used`. */
  private last = Buffer.alloc(0);

  private used = 0;

  private count = 0;

  /** Number of bytes that are held. */
  get size(): number {
    return this.count;
  }

  /** Adds a copy of a part. */
  add(part: Buffer): void {
    for (let at = 0; at < part.length;) {
      if (this.used === this.last.length) this.addBlock(part.length - at);
      const copied = part.copy(this.last, this.used, at);
      this.used += copied;
      at += copied;
    }
    this.count += part.length;
  }

  /** Hands over what is held, in blocks. */
  take(): Buffer[] {
    this.closeBlock();
    const { blocks } = this;
    this.blocks = [];
    this.count = 0;
    return blocks;
  }

  /** What is held, in one piece. */
  toBuffer(): Buffer {
    const blocks = this.take();
    return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks);
  }

  private closeBlock(): void {
    if (this.used > 0) this.blocks.push(this.last.subarray(0, this.used));
    this.last = Buffer.alloc(0);
    this.used = 0;
  }

  private addBlock(bytes: number): void {
    this.closeBlock();
    // Blocks grow with the body, so that a short one takes little.
    const wanted = Math.max(MIN_BLOCK_BYTES, this.count, bytes);
    this.last = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, wanted));
  }
}
