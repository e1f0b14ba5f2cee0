#include "decisions/version/key_hash.h"

#include <criterion/criterion.h>

using namespace ebonyvale;

Test(key_hash, matches_rfc_4231_case_2) {
  cr_assert(toHex(hashKey("Jefe", "what do ya want for nothing?")) ==
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

Test(key_hash, reads_back_only_lower_case_hex_of_the_right_length) {
  const digest Value = hashText("a");
  cr_assert(digestFromHex(toHex(Value)) == Value);
  cr_assert(!digestFromHex("00"));
  cr_assert(!digestFromHex(std::string(64, 'G')));
  cr_assert(!digestFromHex(std::string(64, 'A')));
}
