import {addressSchema} from '@deckwheel/core';
import {z} from 'zod';

/** A host that issues permits, as it is named in messages between hosts: the fields of `ListedPeer`. */
export const coordinatorSchema = z.object({holder: z.string().max(200), address: addressSchema, hall: z.string().max(100)});
