/** What is known of whether an open link still delivers data. */
export type LinkHealth = {
	/**
	- `calm`: the link is taken to work.
	- `pinged`: a request got no reply, or another link turned out to be silent, and the response to a ping is awaited.
	- `replacing`: the ping got no response in time, and a second link to the same peer is being dialled.
	*/
	readonly stage: 'calm' | 'pinged' | 'replacing';
	/** When the last bytes of the peer came, in monotonic ms; when the link was created, while none have come. */
	readonly heardAt: number;
};
