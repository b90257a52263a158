/**
 * File operations needed by storage. Tests replace them to inject failures.
 */
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
} from 'node:fs/promises';
import {join} from 'node:path';
import {toStorageError} from './consensus_storage_errors.js';

export interface DiskFile {
  /**
   * @param bytes the bytes to write
   * @param position offset in the file
   */
  write(bytes: Uint8Array, position: number): Promise<void>;
  /** @param length new length of the file in bytes */
  truncate(length: number): Promise<void>;
  /** Resolves once all written bytes are on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** File operations in one folder. All names are relative to it. */
export interface Disk {
  /** Creates the folder if it does not exist. */
  prepare(): Promise<void>;
  list(): Promise<readonly string[]>;
  read(name: string): Promise<Buffer>;
  /** @param name name of an existing file, or of a file to create */
  open(name: string): Promise<DiskFile>;
  /** Replaces the target atomically; durable after `syncFolder`. */
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  syncFolder(): Promise<void>;
}

async function attempt<Value>(
  operation: string,
  file: string,
  run: () => Promise<Value>,
): Promise<Value> {
  try {
    return await run();
  } catch (err) {
    throw toStorageError(operation, file, err);
  }
}

class NodeFile implements DiskFile {
  readonly #handle: FileHandle;
  readonly #name: string;

  constructor(handle: FileHandle, name: string) {
    this.#handle = handle;
    this.#name = name;
  }

  write(bytes: Uint8Array, position: number): Promise<void> {
    return attempt('write', this.#name, async () => {
      let written = 0;
      while (written < bytes.length) {
        const left = bytes.length - written;
        const at = position + written;
        const step = await this.#handle.write(bytes, written, left, at);
        written += step.bytesWritten;
      }
    });
  }

  truncate(length: number): Promise<void> {
    return attempt('truncate', this.#name, () => this.#handle.truncate(length));
  }

  sync(): Promise<void> {
    return attempt('sync', this.#name, () => this.#handle.datasync());
  }

  close(): Promise<void> {
    return attempt('close', this.#name, () => this.#handle.close());
  }
}

/** A folder in the file system. */
export class NodeDisk implements Disk {
  readonly #folder: string;

  /** @param folder path of the folder */
  constructor(folder: string) {
    this.#folder = folder;
  }

  async prepare(): Promise<void> {
    await attempt('create', this.#folder, () =>
      mkdir(this.#folder, {recursive: true}),
    );
  }

  list(): Promise<readonly string[]> {
    return attempt('list', this.#folder, () => readdir(this.#folder));
  }

  read(name: string): Promise<Buffer> {
    return attempt('read', name, () => readFile(join(this.#folder, name)));
  }

  open(name: string): Promise<DiskFile> {
    return attempt('open', name, async () => {
      const path = join(this.#folder, name);
      const created = await open(path, 'a');
      await created.close();
      return new NodeFile(await open(path, 'r+'), name);
    });
  }

  rename(from: string, to: string): Promise<void> {
    return attempt('rename', to, () =>
      rename(join(this.#folder, from), join(this.#folder, to)),
    );
  }

  remove(name: string): Promise<void> {
    return attempt('remove', name, () =>
      rm(join(this.#folder, name), {force: true}),
    );
  }

  syncFolder(): Promise<void> {
    return attempt('sync', this.#folder, async () => {
      const handle = await open(this.#folder, 'r');
      try {
        await handle.sync();
      } finally {
        await handle.close();
      }
    });
  }
}
